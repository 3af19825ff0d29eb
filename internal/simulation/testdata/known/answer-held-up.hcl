about      = "a network holds an answer up on its way to its owner, for longer than the margin"
like       = "quiet"
allocators = 3
length     = "6076ms"

kind "small" {
  cores  = 24
  memory = 48
  count  = 1
}

kind "large" {
  cores  = 48
  memory = 96
  count  = 0
}

rules {
  list       = "ask"
  confirms   = "running"
  cold_bears = 13
}

node {
  drained = "paced"
}

load {
  rate    = 1.74
  insists = false
}

fault "1" {
  kind  = "delayed"
  at    = "4135ms"
  for   = "8336ms"
  part  = 0.723
  size  = 145.6
}

fault "2" {
  kind  = "never-starts"
  at    = "865ms"
  for   = "5454ms"
  part  = 0.817
}
