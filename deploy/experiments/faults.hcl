about   = "What each fault of the laboratory costs by itself, and how far from the best a day then is."
script  = "quiet"
repeats = 10
oracle  = true

factor "fault" {
  level "none" {}
  level "crash" { script = "crash" }
  level "slow" { script = "slow" }
  level "stall" { script = "stall" }
  level "neighbour" { script = "neighbour" }
  level "deploy" { script = "deploy" }
  level "preempt" { script = "preempt" }
  level "hall-cut" { script = "hall-cut" }
  level "one-way" { script = "one-way" }
  level "list-overrun" { script = "list-overrun" }
  level "list-stale" { script = "list-stale" }
  level "list-empty" { script = "list-empty" }
  level "allocator-still" { script = "allocator-still" }
  level "allocator-death" { script = "allocator-death" }
  level "clocks" { script = "clocks" }
  level "doubled" { script = "doubled" }
  level "reordered" { script = "reordered" }
  level "delayed" { script = "delayed" }
  level "never-starts" { script = "never-starts" }
  level "rough" { script = "rough" }
}
