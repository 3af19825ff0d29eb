package native

func (f *Frontend) newGangExecutor(catalog *catalog, sender *nodeSender) *gangExecutor {
	answers := &gangAnswers{
		environment: f.environment,
		gangs:       f.gangs,
		clients:     f.clients,
		workloads:   f.workloads,
		nodes:       f.nodes,
	}
	return &gangExecutor{
		environment: f.environment,
		gangs:       f.gangs,
		workloads:   f.workloads,
		catalog:     catalog,
		sender:      sender,
		answers:     answers,
	}
}

// addClientHandlers creates the handlers of client frames.
func (f *Frontend) addClientHandlers(catalog *catalog, durable *durableBinds, executor *gangExecutor) {
	f.validator = &requestValidator{
		workloads:    f.workloads,
		gangs:        f.gangs,
		catalog:      catalog,
		maxWorkloads: f.config.MaxWorkloads,
	}
	f.acceptor = &acceptor{
		environment: f.environment,
		connections: f.connections,
		clients:     f.clients,
		workloads:   f.workloads,
	}
	f.requests = &requestHandler{
		environment: f.environment,
		connections: f.connections,
		clients:     f.clients,
		workloads:   f.workloads,
		nodes:       f.nodes,
		durable:     durable,
		validator:   f.validator,
		catalog:     catalog,
		gangs: &gangHandler{
			environment: f.environment,
			clients:     f.clients,
			durable:     durable,
			validator:   f.validator,
			catalog:     catalog,
			gangs:       f.gangs,
			executor:    executor,
		},
	}
}

// addNodeHandlers creates the handlers of frames from nodes and the discovery service.
func (f *Frontend) addNodeHandlers(catalog *catalog, sender *nodeSender, executor *gangExecutor) {
	f.nodeSessions = &nodeSessions{
		environment: f.environment,
		nodes:       f.nodes,
		connections: f.connections,
		replies: &replyHandler{
			environment: f.environment,
			workloads:   f.workloads,
			binder:      f.binder,
			gangParts:   f.gangParts,
		},
		healthChecks: f.healthChecks,
		reconciler:   f.newReconciler(catalog, sender, executor),
	}
	f.discovery = &discovery{
		environment: f.environment,
		address:     f.config.DiscoveryAddress,
		connections: f.connections,
		membership: &membership{
			environment: f.environment,
			nodes:       f.nodes,
			connections: f.connections,
			catalog:     catalog,
			sessions:    f.nodeSessions,
		},
	}
}

func (f *Frontend) newReconciler(catalog *catalog, sender *nodeSender, executor *gangExecutor) *reconciler {
	return &reconciler{
		environment: f.environment,
		workloads:   f.workloads,
		clients:     f.clients,
		catalog:     catalog,
		binder:      f.binder,
		sender:      sender,
		gangParts:   f.gangParts,
		recovery: &gangRecovery{
			environment: f.environment,
			workloads:   f.workloads,
			catalog:     catalog,
			gangs:       f.gangs,
			executor:    executor,
		},
	}
}
