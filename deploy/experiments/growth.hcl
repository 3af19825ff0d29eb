about   = "How an ordinary day grows from one allocator on ten nodes to a thousand on a thousand: the load asked for grows with the nodes, at 70% of their cores."
script  = "quiet"
repeats = 4
workers = 3
each    = "10m"
budget  = "8m"

factor "size" {
  level "10 x 1" {
    nodes      = 10
    allocators = 1
    load       = 0.7
    length     = "10s"
  }
  level "30 x 10" {
    nodes      = 30
    allocators = 10
    load       = 0.7
    length     = "10s"
  }
  level "100 x 32" {
    nodes      = 100
    allocators = 32
    load       = 0.7
    length     = "10s"
  }
  level "110 x 320" {
    nodes      = 110
    allocators = 320
    load       = 0.7
    length     = "10s"
  }
  level "320 x 320" {
    nodes      = 320
    allocators = 320
    load       = 0.7
    length     = "10s"
  }
  level "1000 x 100" {
    nodes      = 1000
    allocators = 100
    load       = 0.7
    length     = "10s"
  }
  level "1000 x 1000" {
    nodes      = 1000
    allocators = 1000
    load       = 0.7
    length     = "10s"
  }
}
