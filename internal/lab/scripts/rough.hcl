about = "overlapping troubles: a crash, stalls, a neighbour, a burst, a deploy, slow nodes and a list that is late"
zones      = ["hall-a", "hall-b"]
allocators = 2
owners     = 2
length     = "20s"

kind "small" {
  cores  = 24
  memory = 48
  count  = 6
}

kind "large" {
  cores  = 48
  memory = 96
  count  = 3
}

group "serve" {
  effect  = "restartable"
  share   = 0.7
  target  = "1s"
  pending = "6s"
  life    = "9s"
  shapes  = [[0.5, 1], [1, 2], [2, 3]]
  services = 10
  calm    = 0.8
  work    = "60ms"
}

group "check" {
  effect       = "deduplicated"
  dedup_scope  = "cell"
  dedup_window = "5s"
  utility      = 2
  share        = 0.25
  target       = "700ms"
  pending      = "6s"
  life         = "7s"
  shapes       = [[0.5, 1], [1, 1.5]]
  services     = 8
  calm         = 0.8
  work         = "40ms"
  spread       = "node"
  spread_most  = 3
  rank         = 1
}

group "trace" {
  effect      = "run-once"
  utility     = 5
  share       = 0.05
  target      = "5s"
  pending     = "10s"
  life        = "15s"
  shapes      = [[6, 12], [10, 18]]
  services    = 3
  calm        = 0.8
  work        = "120ms"
  rank        = 2
}

rules {
  cold_for      = "12s"
  cold_from     = 0.25
  cold_bears    = 24
  overload      = 3
  overload_for  = "2s"
  drain_grace   = "250ms"
  binds         = 4
  confirms      = "accepted"
  list          = "push"
}

load {
  rate = 16
}

list {
  lag = "400ms"
  lines_per_second = 20000
}

fault "stall" {
  at = "2s"
  for = "8s"
  part = 0.3
  size = 350
  every = "1500ms"
}

fault "crash" {
  at = "4s"
  for = "4s"
  part = 0.2
}

fault "neighbour" {
  at = "5s"
  for = "9s"
  part = 0.3
  size = 0.6
  every = "2s"
}

fault "burst" {
  at = "6s"
  for = "4s"
  size = 2.2
}

fault "slow" {
  at = "8s"
  for = "7s"
  part = 0.2
  size = 6
}

fault "list-overrun" {
  at = "8s"
  for = "5s"
  size = 20
}

fault "deploy" {
  at = "11s"
  part = 0.5
  size = 0.2
  every = "2s"
  drain = "1200ms"
}

fault "reconnect" {
  at = "13s"
  for = "800ms"
  size = 0.4
}

fault "allocator-still" {
  at = "15s"
  for = "4s"
  part = 0.5
  size = 700
  every = "2s"
}
