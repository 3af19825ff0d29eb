about = "a mild day: nothing goes wrong"
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
  rate = 12
}

list {
  lag = "400ms"
  lines_per_second = 20000
}
