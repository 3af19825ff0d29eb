about = "groups of half the fleet compete, asked for at several allocators at once"
like = "quiet"
allocators = 8
length     = "22s"

load {
  rate = 4
}

gang "tiles" {
  group   = "serve"
  rate    = 1.2
  parts   = 5
  cores   = 16
  memory  = 20
  life    = "6s"
  pending = "8s"
  spread  = "node"
}
