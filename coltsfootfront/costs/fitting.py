"""Robust linear regression of times, updated with each outcome.

Minimizes the sum of the relative absolute errors, since times spread over two orders of magnitude
and a few outcomes take ten times as long as expected; the fit is then the median, not the mean.
"""

# Factor on the weight of an outcome for each later one; the half-life is about 70 outcomes, some 5
# to 10 seconds of a busy router.
DECAY = 0.99
# The prior weighs as much as this many outcomes in which one coefficient makes up the whole time.
PRIOR_OUTCOMES = 8.0
# Coefficients stay within these factors of their prior. Engines in use prefill 20,000 to 200,000
# tokens per second.
MIN_FACTOR = 0.2
MAX_FACTOR = 5.0
# The equations are solved after this many outcomes, as that takes most of the time.
FIT_INTERVAL = 4
# Lower bounds of an estimate, and of its error in relation to it, so that none weighs endlessly.
MIN_ESTIMATE_S = 0.01
MIN_RELATIVE_ERROR = 0.1

Vector = list[float]


class TimeRegression:
    """Coefficients of a time that is linear in some features.

    :param prior: coefficients before the first outcome; all greater than zero.
    """

    __slots__ = ("_matrix", "_prior", "_since_fit", "_vector", "coefficients")

    def __init__(self, prior: tuple[float, ...]) -> None:
        self._prior = prior
        self._matrix = [[0.0] * len(prior) for _ in prior]
        self._vector = [0.0] * len(prior)
        self._since_fit = 0
        self.coefficients = list(prior)

    def estimate_s(self, features: tuple[float, ...]) -> float:
        """Expected time with some features."""
        total = 0.0
        for coefficient, feature in zip(self.coefficients, features, strict=True):
            total += coefficient * feature
        return max(MIN_ESTIMATE_S, total)

    def record(self, features: tuple[float, ...], took_s: float) -> None:
        """Add an outcome."""
        expected_s = self.estimate_s(features)
        error_s = max(MIN_RELATIVE_ERROR * expected_s, abs(took_s - expected_s))
        # Weighted by its error as well, a squared error counts as an absolute one.
        weight = 1 / (expected_s * error_s)
        for row, feature in enumerate(features):
            weighted = weight * feature
            self._vector[row] = DECAY * self._vector[row] + weighted * took_s
            line = self._matrix[row]
            for column, other in enumerate(features):
                line[column] = DECAY * line[column] + weighted * other
        self._since_fit += 1
        if self._since_fit >= FIT_INTERVAL:
            self._since_fit = 0
            self._fit()

    def _fit(self) -> None:
        matrix = [list(line) for line in self._matrix]
        vector = list(self._vector)
        for row, prior in enumerate(self._prior):
            weight = PRIOR_OUTCOMES / (prior * prior)
            matrix[row][row] += weight
            vector[row] += weight * prior
        self.coefficients = [
            min(max(found, MIN_FACTOR * prior), MAX_FACTOR * prior)
            for found, prior in zip(_solve(matrix, vector), self._prior, strict=True)
        ]


def _solve(matrix: list[Vector], vector: Vector) -> Vector:
    """Solve symmetric positive definite equations by elimination, in place."""
    size = len(vector)
    for pivot in range(size):
        line = matrix[pivot]
        for row in range(pivot + 1, size):
            factor = matrix[row][pivot] / line[pivot]
            if not factor:
                continue
            target = matrix[row]
            for column in range(pivot, size):
                target[column] -= factor * line[column]
            vector[row] -= factor * vector[pivot]
    for pivot in range(size - 1, -1, -1):
        line = matrix[pivot]
        rest = vector[pivot]
        for column in range(pivot + 1, size):
            rest -= line[column] * vector[column]
        vector[pivot] = rest / line[pivot]
    return vector
