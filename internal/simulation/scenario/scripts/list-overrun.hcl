about = "the list must be asked and cannot keep up"
like = "quiet"
length     = "24s"

rules {
  list          = "ask"
}

load {
  rate = 16
}

fault "list-overrun" {
  at = "3s"
  for = "15s"
  size = 200
}
