about = "an allocator is killed and comes back with nothing but its name"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "allocator-death" {
  at = "6s"
  for = "4s"
  part = 0.5
}

fault "second" {
  kind = "allocator-death"
  at = "15s"
  for = "1s"
  part = 1.0
}
