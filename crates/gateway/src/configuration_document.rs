//! Configuration document as it is sent to other instances.

use std::{
    io::{self, Read, Write},
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};

/// Largest document, in bytes, that is decompressed. The store's values have at most 1 MiB.
const MAX_DOCUMENT_BYTES: u64 = 8 << 20;

/// Configuration document, with its compressed form once that was needed.
///
/// Routes repeat each other, so that the compressed form is a small part of the document.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConfigurationDocument {
    plain: Bytes,
    compressed: Arc<OnceLock<Bytes>>,
}

impl ConfigurationDocument {
    pub(crate) fn new(plain: Bytes) -> Self {
        Self {
            plain,
            compressed: Arc::default(),
        }
    }

    pub(crate) fn plain(&self) -> Bytes {
        self.plain.clone()
    }

    /// Returns the compressed document; empty if it cannot be compressed.
    pub(crate) fn compressed(&self) -> Bytes {
        let compressed = self.compressed.get_or_init(|| {
            let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
            let written = encoder.write_all(&self.plain);
            let finished = written.and_then(|()| encoder.finish());
            finished.map(Bytes::from).unwrap_or_default()
        });
        compressed.clone()
    }
}

/// Returns the document of a compressed one.
///
/// # Errors
///
/// Returns an error if `compressed` is no compressed document, or one of more than
/// [`MAX_DOCUMENT_BYTES`].
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Bytes> {
    let mut document = Vec::new();
    let mut decoder = ZlibDecoder::new(compressed).take(MAX_DOCUMENT_BYTES + 1);
    decoder.read_to_end(&mut document)?;
    if document.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(io::Error::other(format!(
            "the document has over {MAX_DOCUMENT_BYTES} bytes"
        )));
    }
    Ok(document.into())
}
