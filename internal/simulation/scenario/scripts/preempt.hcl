about = "machines are taken away in waves and replaced by cold ones"
like = "quiet"
length     = "26s"

load {
  rate = 16
}

fault "preempt" {
  at = "4s"
  for = "6s"
  part = 0.6
  size = 0.2
  every = "3s"
}
