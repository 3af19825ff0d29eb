about = "asks come at more than twice the usual rate"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "burst" {
  at = "7s"
  for = "6s"
  size = 2.5
}
