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
