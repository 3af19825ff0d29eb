about = "every clock goes at a pace of its own, and half of the nodes are stepped ahead"
like  = "quiet"

fault "clock-skew" {
  at   = "1s"
  for  = "18s"
  part = 1
  size = 1000
}

fault "clock-step" {
  at   = "9s"
  part = 0.5
  size = 30000
}
