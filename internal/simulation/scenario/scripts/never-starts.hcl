about = "a third of the nodes accept what they are offered and start none of it"
like  = "quiet"

fault "never-starts" {
  at   = "4s"
  for  = "9s"
  part = 0.35
}
