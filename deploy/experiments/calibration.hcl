about   = "Each kind of trouble by itself on a busy fleet, to set beside another simulator's order of them."
script  = "quiet"
repeats = 12

factor "trouble" {
  level "none" { load = 0.8 }
  level "crash" {
    load = 0.8
    day {
      fault "crash" {
        at   = "5s"
        for  = "7s"
        part = 0.15
      }
    }
  }
  level "slow" {
    load = 0.8
    day {
      fault "slow" {
        at   = "4s"
        for  = "12s"
        part = 0.15
        size = 6
      }
    }
  }
  level "stall" {
    load = 0.8
    day {
      fault "stall" {
        at    = "4s"
        for   = "12s"
        part  = 0.3
        size  = 350
        every = "2s"
      }
    }
  }
  level "neighbour" {
    load = 0.8
    day {
      fault "neighbour" {
        at    = "4s"
        for   = "12s"
        part  = 0.3
        size  = 0.5
        every = "3s"
      }
    }
  }
  level "burst" {
    load = 0.8
    day {
      fault "burst" {
        at   = "6s"
        for  = "6s"
        size = 2
      }
    }
  }
  level "hot-service" {
    load = 0.8
    day {
      fault "hot-service" {
        at   = "5s"
        for  = "10s"
        part = 0.1
        size = 2.5
      }
    }
  }
  level "hot-allocator" {
    load = 0.8
    day {
      fault "hot-allocator" {
        at   = "4s"
        for  = "12s"
        size = 0.3
      }
    }
  }
  level "overrun" {
    load = 0.8
    day {
      fault "overrun" {
        at    = "4s"
        for   = "12s"
        group = "serve"
        part  = 0.05
        size  = 6
      }
    }
  }
  level "deploy" {
    load = 0.8
    day {
      fault "deploy" {
        at    = "3s"
        for   = "1s"
        part  = 0.7
        size  = 0.15
        every = "3s"
        drain = "2s"
      }
    }
  }
  level "forget" {
    load = 0.8
    day {
      fault "forget" {
        at   = "8s"
        part = 1
        size = 0.8
      }
    }
  }
  level "reconnect" {
    load = 0.8
    day {
      fault "reconnect" {
        at   = "8s"
        for  = "1s"
        size = 0.4
      }
    }
  }
}
