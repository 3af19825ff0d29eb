about = "nodes run several times slower"
like = "quiet"
length     = "24s"

rules {
  confirms      = "running"
}

load {
  rate = 16
}

fault "slow" {
  at = "5s"
  for = "12s"
  part = 0.25
  size = 8
}
