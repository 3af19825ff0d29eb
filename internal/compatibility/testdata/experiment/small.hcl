about   = "Two sizes of a quiet scenario."
script  = "quiet"
repeats = 2

factor "fault" {
  level "none" {}
  level "crash" { script = "crash" }
}
