about = "one hall is cut off, longer than connections live"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "hall-cut" {
  at = "7s"
  for = "6s"
  zone = "hall-b"
}
