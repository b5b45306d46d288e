//! Frames with a length field around envelopes.

use std::{io, sync::Arc};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use hawthornquay_decisions::InstanceId;
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite, ReadHalf, WriteHalf, split};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{Body, Envelope, Hello, LinkCounters, MAX_FRAME_BYTES};

const LENGTH_FIELD_BYTES: usize = 4;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_FIELD_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

pub(crate) struct EnvelopeReader<S> {
    frames: FramedRead<ReadHalf<S>, LengthDelimitedCodec>,
    counters: Arc<LinkCounters>,
}

impl<S: AsyncRead> EnvelopeReader<S> {
    /// Returns the next envelope with a known body, or `None` at the end of the connection.
    ///
    /// It may be dropped while it waits without losing a message.
    pub(crate) async fn next(&mut self) -> io::Result<Option<(Envelope, Body)>> {
        while let Some(frame) = self.frames.next().await {
            let frame: BytesMut = frame?;
            let len = frame.len() + LENGTH_FIELD_BYTES;
            let mut envelope = Envelope::decode(frame.freeze())?;
            // A newer version may send messages that this one does not know.
            let Some(body) = envelope.body.take() else {
                continue;
            };
            self.counters.counter_for(&body).record_in(len);
            return Ok(Some((envelope, body)));
        }
        Ok(None)
    }
}

pub(crate) struct EnvelopeWriter<S> {
    frames: FramedWrite<WriteHalf<S>, LengthDelimitedCodec>,
    counters: Arc<LinkCounters>,
}

impl<S: AsyncWrite> EnvelopeWriter<S> {
    pub(crate) async fn feed(&mut self, envelope: &Envelope) -> io::Result<()> {
        let frame: Bytes = envelope.encode_to_vec().into();
        // A reply that is too large fails its own call by the deadline, not the whole link.
        if frame.len() > MAX_FRAME_BYTES {
            LinkCounters::increment(&self.counters.dropped);
            return Ok(());
        }
        if let Some(body) = &envelope.body {
            self.counters
                .counter_for(body)
                .record_out(frame.len() + LENGTH_FIELD_BYTES);
        }
        self.frames.feed(frame).await
    }

    pub(crate) async fn flush(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::flush(&mut self.frames).await
    }

    pub(crate) async fn close(&mut self) -> io::Result<()> {
        SinkExt::<Bytes>::close(&mut self.frames).await
    }
}

pub(crate) fn split_envelopes<S: AsyncRead + AsyncWrite>(
    stream: S,
    counters: &Arc<LinkCounters>,
) -> (EnvelopeReader<S>, EnvelopeWriter<S>) {
    let (read, write) = split(stream);
    (
        EnvelopeReader {
            frames: FramedRead::new(read, codec()),
            counters: counters.clone(),
        },
        EnvelopeWriter {
            frames: FramedWrite::new(write, codec()),
            counters: counters.clone(),
        },
    )
}

pub(crate) async fn send_hello<S: AsyncWrite>(
    writer: &mut EnvelopeWriter<S>,
    hello: Hello,
) -> io::Result<()> {
    writer.feed(&Envelope::one_way(Body::Hello(hello))).await?;
    writer.flush().await
}

pub(crate) async fn receive_hello<S: AsyncRead>(
    reader: &mut EnvelopeReader<S>,
) -> io::Result<InstanceId> {
    match reader.next().await? {
        Some((_, Body::Hello(hello))) => Ok(InstanceId::new(&hello.name, hello.incarnation)),
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the first message is not a Hello",
        )),
    }
}
