about = "the list tells of five times the room there is, on a full fleet"
like  = "quiet"

load {
  rate = 60
}

fault "list-wrong" {
  at   = "4s"
  for  = "10s"
  size = 5
}
