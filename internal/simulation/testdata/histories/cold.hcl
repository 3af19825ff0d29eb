about      = "a node that comes back cold while much is asked for"
like       = "quiet"
allocators = 1
owners     = 1
length     = "2s"
settle     = "600ms"

kind "small" {
  cores  = 24
  memory = 48
  count  = 3
}

kind "large" {
  cores  = 48
  memory = 96
  count  = 0
}

group "check" {
  effect       = "deduplicated"
  dedup_scope  = "cell"
  dedup_window = "5s"
  utility      = 2
  share        = 0.6
  target       = "700ms"
  pending      = "6s"
  life         = "7s"
  shapes       = [[0.5, 1]]
  services     = 2
  calm         = 0.8
  work         = "40ms"
  spread       = "node"
  spread_most  = 9
}

rules {
  cold_bears   = 4
  cold_for     = "12s"
  overload_for = "2s"
  drain_grace  = "250ms"
}

load {
  rate = 60
}

list {
  lag   = "200ms"
  every = "800ms"
}

fault "deploy" {
  at    = "100ms"
  for   = "3s"
  part  = 0.3
  size  = 0.3
  drain = "400ms"
}
