about = "every node is drained, stopped and comes back cold, some at a time"
like = "quiet"
length     = "28s"

load {
  rate = 16
}

node {
  drained = "paced"
}

fault "deploy" {
  at = "3s"
  part = 1.0
  size = 0.2
  every = "3500ms"
  drain = "1500ms"
}
