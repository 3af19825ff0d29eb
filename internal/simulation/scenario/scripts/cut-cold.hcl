about = "halls are cut off for three seconds while their nodes start anew, and what was sent reaches them at once"
like       = "quiet"
allocators = 1
length     = "9371ms"

kind "small" {
  cores  = 24
  memory = 48
  count  = 2
}

kind "large" {
  cores  = 48
  memory = 96
  count  = 1
}

rules {
  list       = "push"
  confirms   = "accepted"
  cold_bears = 16
}

node {
  drained = "at-once"
}

load {
  rate = 2.22
}

fault "1" {
  kind  = "hall-cut"
  at    = "16ms"
  for   = "8966ms"
  part  = 0.272
  zone  = "hall-a"
}

fault "2" {
  kind  = "hall-cut"
  at    = "5971ms"
  for   = "2940ms"
  part  = 0.556
  zone  = "hall-b"
}

fault "3" {
  kind  = "deploy"
  at    = "1798ms"
  for   = "7030ms"
  part  = 0.943
  size  = 0.2138
  every = "1891ms"
  drain = "929ms"
}
