"""What heartbeats prove about tasks, whether answers reach a worker, and the commands that follow."""
