about = "nodes fail, stall and drain while groups start and stand"
like = "quiet"
allocators = 4
length     = "22s"

load {
  rate = 8
}

gang "tiles" {
  group   = "serve"
  rate    = 0.5
  parts   = 4
  cores   = 6
  memory  = 10
  life    = "6s"
  pending = "8s"
  spread  = "node"
}

gang "county" {
  group   = "trace"
  rate    = 0.15
  parts   = 3
  cores   = 8
  memory  = 12
  life    = "6s"
  pending = "9s"
}

gang "checks" {
  group   = "serve"
  rate    = 0.4
  parts   = 5
  need    = 4
  cores   = 3
  memory  = 5
  life    = "9s"
  pending = "8s"
  replace = true
  replace_within = "3s"
}

fault "crash" {
  at   = "5s"
  for  = "4s"
  part = 0.3
}

fault "stall" {
  at    = "8s"
  for   = "8s"
  part  = 0.3
  size  = 400
  every = "1500ms"
}

fault "hall-cut" {
  at   = "11s"
  for  = "5s"
  zone = "hall-b"
}

fault "deploy" {
  at    = "15s"
  part  = 0.5
  size  = 0.2
  every = "2s"
  drain = "1s"
}
