about = "the list takes no news for ten seconds, while nodes drain and start anew"
like  = "quiet"

fault "list-stale" {
  at  = "4s"
  for = "10s"
}

fault "deploy" {
  at    = "5s"
  for   = "1s"
  part  = 0.6
  size  = 0.2
  every = "2s"
  drain = "1s"
}
