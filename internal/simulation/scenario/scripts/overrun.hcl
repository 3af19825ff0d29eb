about = "workloads of one group use far more than they asked, until memory runs out"
like = "quiet"
length     = "24s"

rules {
  confirms      = "running"
}

load {
  rate = 16
}

fault "overrun" {
  at = "5s"
  for = "12s"
  part = 0.5
  size = 8
  group = "serve"
}
