about = "overlapping troubles: a crash, stalls, a neighbour, a burst, a deploy, slow nodes and a list that is late"
like = "quiet"

load {
  rate = 16
}

fault "stall" {
  at = "2s"
  for = "8s"
  part = 0.3
  size = 350
  every = "1500ms"
}

fault "crash" {
  at = "4s"
  for = "4s"
  part = 0.2
}

fault "neighbour" {
  at = "5s"
  for = "9s"
  part = 0.3
  size = 0.6
  every = "2s"
}

fault "burst" {
  at = "6s"
  for = "4s"
  size = 2.2
}

fault "slow" {
  at = "8s"
  for = "7s"
  part = 0.2
  size = 6
}

fault "list-overrun" {
  at = "8s"
  for = "5s"
  size = 20
}

fault "deploy" {
  at = "11s"
  part = 0.5
  size = 0.2
  every = "2s"
  drain = "1200ms"
}

fault "reconnect" {
  at = "13s"
  for = "800ms"
  size = 0.4
}

fault "allocator-still" {
  at = "15s"
  for = "4s"
  part = 0.5
  size = 700
  every = "2s"
}
