"""The runner of scenario files: lines of text that describe a simulated cluster, troubles and expectations."""
