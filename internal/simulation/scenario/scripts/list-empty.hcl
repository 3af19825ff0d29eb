about = "the list names no node for some seconds, twice"
like  = "quiet"

fault "list-empty" {
  at  = "5s"
  for = "2s"
}

fault "again" {
  kind = "list-empty"
  at   = "11s"
  for  = "4s"
}
