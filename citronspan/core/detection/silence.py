"""Judges a target by an attempt that ended without an answer.

Load pattern: targets that accept requests and hang, for kinds of requests whose run
times differ so widely that even the timeout of the route is no impossible latency. No
single silence is proof there, but the longer it was, compared with the latencies of
the kind, the likelier the target hangs.
"""

from citronspan.core.detection.latency_distribution import LatencyDistribution

HANG_SHARE = 0.25
"""Share of its requests that a failing target leaves without an answer."""


def compute_silence_ratio(latency: LatencyDistribution, seconds: float) -> float:
    """Return the likelihood ratio of an attempt without an answer.

    Args:
        latency: Latencies of its request kind.
        seconds: Time from its start to its end.

    Returns:
        Probability that a failing target has not answered by then, divided by that of
        a healthy one; at least 1, and 1 if too little is known of the kind.
    """
    if not latency.is_known:
        return 1.0
    survival = latency.find_survival(seconds)
    return max(HANG_SHARE / survival + 1 - HANG_SHARE, 1.0)
