"""Decodes the requests of the platform's callers."""

from aiohttp import web

from coltsfootfront.common.decoding import read_integer, read_seconds, read_text
from coltsfootfront.direct.callerrequest import CallerRequest, PromptPart
from coltsfootfront.platform import headers

# For a request without a deadline header; the route's timeout bounds it further.
DEFAULT_DEADLINE_S = 600.0


def parse_deadline_s(request: web.BaseRequest) -> float:
    """Time for which a caller waits.

    :raises ValueError: when it is malformed.
    """
    if headers.DEADLINE_MS not in request.headers:
        return DEFAULT_DEADLINE_S
    return read_seconds(float(request.headers[headers.DEADLINE_MS]) / 1000)


def decode_caller_request(
    request: web.BaseRequest, body: bytes, received_s: float
) -> CallerRequest:
    """Decode a caller's request.

    :raises ValueError: when the deadline, token usage, prompt parts or resume header is malformed.
    """
    request_headers = request.headers
    deadline_s = parse_deadline_s(request)
    prompt_tokens, output_tokens = _parse_token_usage(request_headers.get(headers.TOKEN_USAGE, ""))
    resume_after = request_headers.get(headers.RESUME_AFTER)
    authorization = request_headers.get(headers.AUTHORIZATION, "")
    has_token_scheme = authorization.lower().startswith(headers.AUTHORIZATION_SCHEME)
    return CallerRequest(
        request_id=request_headers.get(headers.REQUEST_ID, ""),
        host=request_headers.get("Host", ""),
        method=request.method,
        path=request.raw_path,
        headers=[
            (name, value)
            for name, value in request_headers.items()
            if name.lower() not in headers.NOT_FORWARDED
        ],
        body=body,
        received_s=received_s,
        deadline_s=received_s + deadline_s,
        api_key=(
            authorization[len(headers.AUTHORIZATION_SCHEME) :].strip() if has_token_scheme else ""
        ),
        model=request_headers.get(headers.MODEL, ""),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=_parse_prompt_parts(request_headers.get(headers.PROMPT_PARTS, "")),
        resume_after=read_integer(int(resume_after)) if resume_after else None,
        resumes=_parse_resumes(request_headers.getall(headers.RESUMES, [])),
    )


def _parse_resumes(values: list[str]) -> str:
    """Id of the one request that a caller names, empty if it names none or several."""
    return values[0].strip() if len(values) == 1 else ""


def _parse_token_usage(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(",")
    return read_integer(int(prompt)), read_integer(int(output or 0))


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for part in text.split(",") if text else ():
        key, _, tokens = part.strip().partition(":")
        parts.append(PromptPart(read_text(key), read_integer(int(tokens))))
    return tuple(parts)
