about = "some nodes turn one group away without a reason"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "throttle" {
  at = "4s"
  for = "15s"
  part = 0.4
  group = "check"
}
