about = "a quarter of the nodes can only be heard, or only hear"
like  = "quiet"

fault "one-way" {
  at   = "5s"
  for  = "6s"
  part = 0.4
}
