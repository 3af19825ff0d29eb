about = "more is asked for than the fleet can hold"
like = "quiet"
length     = "24s"

load {
  rate = 45
}

fault "hot-allocator" {
  at = "6s"
  for = "8s"
  size = 0.6
}
