# A group that starts together or not at all: grebeglade submit --gang deploy/gang.hcl
# docs/gangs.md says what each setting does.

pending = "10s"
need    = 4
spread  = "node"
on_loss = "undo"

part {
  group    = "serve"
  service  = 7
  cores    = 4
  memory   = 8
  runs_for = "20s"
  count    = 4
}
