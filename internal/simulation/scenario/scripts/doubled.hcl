about = "a third of the frames come twice"
like  = "quiet"

fault "doubled" {
  at   = "2s"
  for  = "15s"
  part = 0.3
}
