about = "another program takes much of some machines, on and off"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "neighbour" {
  at = "4s"
  for = "15s"
  part = 0.4
  size = 0.75
  every = "2500ms"
}
