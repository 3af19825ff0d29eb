about = "owners stop many of their services and ask for all of it again at once"
like = "quiet"
length     = "24s"

load {
  rate = 16
}

fault "reconnect" {
  at = "8s"
  for = "500ms"
  size = 0.6
}

fault "drop" {
  kind = "owner-disconnect"
  at = "14s"
  part = 0.5
}
