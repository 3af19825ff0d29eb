# An allocator among the stand-ins of 'grebeglade lab fleet'. docs/running.md says what each setting does.

allocator {
  name       = "allocator-1"
  listen     = "127.0.0.1:7070"
  list       = "127.0.0.1:7071"
  zone       = "hall-a"
  allocators = 1
  number     = 0
}

limits {
  workloads   = 200000
  connections = 4096
  frame       = "1MiB"
  waiting     = "4MiB"
}

rules {
  cold_for     = "12s"
  cold_from    = 0.25
  cold_bears   = 24
  overload_for = "2s"
  binds        = 4
  confirms     = "accepted"
}

kind "small" {
  cores  = 24
  memory = 48
}

kind "large" {
  cores  = 48
  memory = 96
}

group "serve" {
  effect  = "restartable"
  target  = "1s"
  utility = 1
  calm    = 0.8
}

group "check" {
  effect       = "deduplicated"
  dedup_scope  = "cell"
  dedup_window = "5s"
  target       = "700ms"
  utility      = 2
  calm         = 0.8
  spread       = "node"
  spread_most  = 3
}

group "trace" {
  effect  = "run-once"
  target  = "5s"
  utility = 5
  calm    = 0.8
}

log {
  level  = "info"
  format = "text"
}
