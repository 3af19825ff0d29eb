about = "allocators stand still for a second and more"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "allocator-still" {
  at = "4s"
  for = "14s"
  part = 1.0
  size = 1500
  every = "4s"
}
