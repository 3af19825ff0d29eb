about      = "nodes whose clocks are stepped ahead call themselves warm to allocators that start anew"
like       = "quiet"
allocators = 94
length     = "6675ms"

kind "small" {
  cores  = 24
  memory = 48
  count  = 3
}

kind "large" {
  cores  = 48
  memory = 96
  count  = 1
}

rules {
  list       = "push"
  confirms   = "running"
  cold_bears = 14
}

node {
  drained = "at-once"
}

load {
  rate    = 8.62
  insists = false
}

fault "1" {
  kind  = "allocator-death"
  at    = "4329ms"
  for   = "1990ms"
  part  = 1.000
}

fault "2" {
  kind  = "throttle"
  at    = "5087ms"
  for   = "1838ms"
  part  = 0.327
  group = "check"
}

fault "3" {
  kind  = "clock-step"
  at    = "2022ms"
  for   = "5819ms"
  part  = 0.689
  size  = 3.081e+04
}

fault "4" {
  kind  = "preempt"
  at    = "110ms"
  for   = "300ms"
  part  = 0.893
  size  = 0.2123
  every = "3061ms"
}
