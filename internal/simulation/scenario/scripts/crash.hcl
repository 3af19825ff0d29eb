about = "nodes die at once and come back cold"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "crash" {
  at = "6s"
  for = "5s"
  part = 0.3
}

fault "second" {
  kind = "crash"
  at = "14s"
  for = "3s"
  part = 0.2
}
