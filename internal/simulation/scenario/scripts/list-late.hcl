about = "the list hears of everything six seconds late, while nodes crash"
like  = "quiet"

fault "list-late" {
  at   = "3s"
  for  = "12s"
  size = 6000
}

fault "crash" {
  at   = "6s"
  for  = "3s"
  part = 0.3
}
