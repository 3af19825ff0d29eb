about = "the network holds connections up for up to a quarter of a second"
like  = "quiet"

fault "delayed" {
  at   = "2s"
  for  = "15s"
  part = 0.1
  size = 250
}
