about = "allocators and their machines die again and again, and owners insist on what must not run twice"
like  = "quiet"

state {
  disk = "12ms"
}

rules {
  cold_for     = "12s"
  cold_from    = 0.25
  cold_bears   = 24
  overload     = 3
  overload_for = "2s"
  drain_grace  = "250ms"
  binds        = 4
  confirms     = "running"
}

load {
  rate    = 30
  insists = true
}

group "serve" {
  effect   = "restartable"
  share    = 0.5
  target   = "1s"
  pending  = "6s"
  life     = "6s"
  shapes   = [[0.5, 1], [1, 2]]
  services = 10
  calm     = 0.8
  work     = "60ms"
}

group "trace" {
  effect   = "run-once"
  utility  = 5
  share    = 0.5
  target   = "5s"
  pending  = "10s"
  life     = "6s"
  shapes   = [[1, 2], [2, 3]]
  services = 6
  calm     = 0.8
  work     = "120ms"
  rank     = 2
}

fault "1" {
  kind = "allocator-death"
  at   = "3s"
  for  = "600ms"
  part = 0.5
}

fault "2" {
  kind = "allocator-death"
  at   = "7s"
  for  = "300ms"
  part = 1
}

fault "3" {
  kind = "allocator-death"
  at   = "11s"
  for  = "900ms"
  part = 0.5
}

fault "4" {
  kind = "allocator-death"
  at   = "14s"
  for  = "200ms"
  part = 1
}
