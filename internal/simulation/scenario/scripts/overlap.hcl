about = "a hall is cut off in the middle of a deploy while an allocator dies and services swell"
like = "quiet"
length     = "24s"

rules {
  list          = "ask"
}

load {
  rate = 16
}

fault "deploy" {
  at = "3s"
  part = 0.6
  size = 0.2
  every = "3s"
  drain = "1s"
}

fault "hall-cut" {
  at = "8s"
  for = "5s"
  zone = "hall-b"
}

fault "allocator-death" {
  at = "9s"
  for = "3s"
  part = 0.5
}

fault "hot-service" {
  at = "5s"
  for = "12s"
  part = 0.3
  size = 2.5
}

fault "burst" {
  at = "14s"
  for = "5s"
  size = 2
}
