about = "allocators die while groups start and stand; one of them for long"
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

fault "allocator-death" {
  at   = "6s"
  for  = "2s"
  part = 0.5
}

fault "all" {
  kind = "allocator-death"
  at   = "11s"
  for  = "500ms"
  part = 1.0
}

fault "long" {
  kind = "allocator-death"
  at   = "14s"
  for  = "60s"
  part = 0.25
}
