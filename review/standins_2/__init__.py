"""Stand-ins of the second review: state service, cloud, machines with workers, users, controllers."""
