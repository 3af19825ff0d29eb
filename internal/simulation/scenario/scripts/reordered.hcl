about = "frames overtake one another, beyond what a stream allows"
like  = "quiet"

fault "reordered" {
  at   = "2s"
  for  = "15s"
  part = 0.4
  size = 60
}
