about = "every node dies at once and comes back cold while owners ask for all of it again"
like = "quiet"
allocators = 12
length     = "24s"

rules {
  cold_bears    = 12
}

load {
  rate = 40
}

fault "crash" {
  at = "5s"
  for = "1s"
  part = 1.0
}

fault "burst" {
  at = "6s"
  for = "8s"
  size = 2.5
}
