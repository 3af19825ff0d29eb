about = "nodes stand still for a part of a second, again and again"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "stall" {
  at = "4s"
  for = "14s"
  part = 0.45
  size = 500
  every = "1200ms"
}
