"""Parse and validate requests from callers."""

import hashlib
import math
from dataclasses import dataclass
from secrets import token_hex

from returns.result import Failure, Result, Success

from cartdale.callers.types import (
    Caller,
    ChatMessage,
    Directory,
    GenerationBody,
)
from cartdale.clock import Millis
from cartdale.codec import decode_json, digest, encode_json
from cartdale.declarations.types import Repeat, Service, UpstreamKind
from cartdale.engines.types import GenerationRequest
from cartdale.exceptions import UndecodableError
from cartdale.problems.types import BadRequest, Problem, Unauthorised
from cartdale.quarantine.identity import (
    Fingerprint,
    identify,
    identify_parts,
)
from cartdale.routing.lengths import describe_shape
from cartdale.routing.types import Work
from cartdale.streams.answers import DeliveryRequest
from cartdale.streams.position import Position, PositionSigner

HEADER_RESUME = 'Last-Event-ID'

_CHARACTERS_PER_TOKEN = 4
_PREFIX_CHARACTERS = 1024
_GENERATION_BYTES = 12
_SEED_DIGITS = 12
_BODY_DIGITS = 16
_HEXADECIMAL = 16
_PRIORITY_STEP = 10


@dataclass(frozen=True, slots=True)
class GenerationCall:
    """Validated request for a generation.

    :param path: path of the request; the engine serves the same path.
    """

    caller: Caller
    service_name: str
    service: Service
    path: str
    raw: bytes
    body: GenerationBody


def identify_caller(
    directory: Directory, authorization: str
) -> Result[Caller, Problem]:
    """Return the customer that a bearer key belongs to."""
    scheme, _, key = authorization.partition(' ')
    hashed = hashlib.sha256(key.strip().encode()).hexdigest()
    caller = directory.callers_by_hash.get(hashed)
    if scheme.lower() != 'bearer' or not key.strip() or caller is None:
        return Failure(Unauthorised())
    return Success(caller)


def read_generation(
    directory: Directory, caller: Caller, path: str, raw: bytes
) -> Result[GenerationCall, Problem]:
    """Validate a completion request and find its service."""
    try:
        body = decode_json(raw, GenerationBody)
    except UndecodableError as error:
        return Failure(BadRequest('body', f'a completion request ({error})'))
    if body.alternatives != 1:
        return Failure(BadRequest('n', '1, one alternative for each request'))
    if not body.prompt and not body.messages:
        return Failure(BadRequest('prompt', 'a prompt or messages'))
    name = _find_service(directory, caller, body.model)
    if not name:
        return Failure(BadRequest('model', 'a service open to this key'))
    service = directory.services_by_name[name]
    return Success(GenerationCall(caller, name, service, path, raw, body))


def read_position(
    position_signer: PositionSigner, text: str, call: GenerationCall
) -> Result[Position | None, Problem]:
    """Verify the position from which a caller resumes a stream.

    :param text: the ``Last-Event-ID`` header; empty for a new request.
    """
    if not text:
        return Success(None)
    position = position_signer.verify(text)
    if position is None or position.origin.customer != call.caller.name:
        expected = 'the id of an event of this answer'
        return Failure(BadRequest(HEADER_RESUME, expected))
    if position.origin.body_digest != digest_body(call.raw):
        return Failure(BadRequest(HEADER_RESUME, 'the same body as at first'))
    return Success(position)


def make_generation_id() -> str:
    """Return a new, unpredictable generation id."""
    return token_hex(_GENERATION_BYTES)


def make_delivery_request(
    call: GenerationCall,
    generation: str,
    position: Position | None,
    now: Millis,
) -> DeliveryRequest:
    """Build the delivery request of a validated request."""
    text = _join_prompt_text(call.body)
    prompt_tokens = max(1, len(text) // _CHARACTERS_PER_TOKEN)
    prefix = text[:_PREFIX_CHARACTERS]
    priority = call.caller.customer.priority * _PRIORITY_STEP
    work = Work(
        work_id=generation,
        service=call.service_name,
        customer=call.caller.name,
        prompt_tokens=prompt_tokens,
        arrived_at=now,
        deadline_at=now + call.service.deadline_ms,
        priority=priority,
        share=call.caller.customer.share,
        shape=describe_shape(call.service_name, int(math.log2(prompt_tokens))),
        prefix=digest(prefix.encode()),
        prefix_tokens=len(prefix) // _CHARACTERS_PER_TOKEN,
    )
    seed = call.body.seed
    if seed is None:
        seed = derive_seed(generation)
    return DeliveryRequest(
        work=work,
        generation=GenerationRequest(
            generation, call.path, call.raw, seed, priority
        ),
        may_repeat=call.service.repeat is Repeat.ALLOWED,
        customer=call.caller.name,
        body_digest=digest_body(call.raw),
        position=position,
        fingerprint=_compute_fingerprint(call),
    )


def digest_body(raw: bytes) -> str:
    """Return the shortened digest that identifies a request body."""
    return digest(raw)[:_BODY_DIGITS]


def derive_seed(generation: str) -> int:
    """Derive the sampling seed from the id of the first generation."""
    first = generation.partition('-')[0]
    return int(digest(first.encode())[:_SEED_DIGITS], _HEXADECIMAL)


def _compute_fingerprint(call: GenerationCall) -> Fingerprint:
    identity = identify(
        'POST',
        call.service_name,
        call.path.encode(),
        call.caller.name,
        call.raw,
    )
    shared = call.body.messages[:-1]
    return Fingerprint(identity, identify_parts(map(_name_part, shared)))


def _name_part(message: ChatMessage) -> str:
    """Return a text that differs for each pair of role and content."""
    return encode_json((message.role, message.content)).decode()


def _find_service(
    directory: Directory, caller: Caller, model: str
) -> str | None:
    for name in caller.customer.services:
        service = directory.services_by_name.get(name)
        if service is None or service.kind is not UpstreamKind.ENGINE:
            continue
        if model in {name, service.model}:
            return name
    return None


def _join_prompt_text(body: GenerationBody) -> str:
    if not body.messages:
        return body.prompt
    return '\n'.join(
        f'{message.role}: {message.content}' for message in body.messages
    )
