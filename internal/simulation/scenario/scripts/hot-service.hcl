about = "a part of the services uses far more than usual"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "hot-service" {
  at = "5s"
  for = "12s"
  part = 0.6
  size = 2.5
}
