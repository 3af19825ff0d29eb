about = "half of the nodes say that they are idle, on a busy fleet"
like  = "quiet"

load {
  rate = 45
}

fault "lying" {
  at   = "3s"
  for  = "14s"
  part = 0.5
  size = 1
}
