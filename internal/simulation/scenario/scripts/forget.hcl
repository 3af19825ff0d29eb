about = "nodes lose the programs that they kept"
like = "quiet"
length     = "24s"

rules {
  confirms      = "running"
}

load {
  rate = 16
}

fault "forget" {
  at = "8s"
  part = 1.0
  size = 1.0
}

fault "again" {
  kind = "forget"
  at = "15s"
  part = 0.6
  size = 0.5
}

group "serve" {
  effect   = "restartable"
  share    = 0.75
  target   = "1s"
  pending  = "6s"
  life     = "3s"
  shapes   = [[0.5, 1], [1, 2], [2, 3]]
  services = 60
  calm     = 0.8
  work     = "60ms"
}

group "trace" {
  effect   = "run-once"
  utility  = 5
  share    = 0.05
  target   = "5s"
  pending  = "10s"
  life     = "6s"
  shapes   = [[6, 12], [10, 18]]
  services = 8
  calm     = 0.8
  work     = "120ms"
  rank     = 2
}
